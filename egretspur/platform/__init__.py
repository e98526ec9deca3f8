"""The adapter: everything that only translates between product and platform.

The platform's names stand in this folder alone. It decides nothing. Read
`names` first, then `decode` and `store`.
"""
