"""Plays versions of the configuration under troubles, judged at the sockets.

Read `tests.strange.play` first.
"""
