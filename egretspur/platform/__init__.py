"""Adapter between the product and the platform that it runs on.

Only this folder knows the platform's names. It translates and makes no
routing decisions. Read `names` first, then `decode` and `store`.
"""
