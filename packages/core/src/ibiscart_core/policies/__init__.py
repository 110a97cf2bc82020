"""
ibiscart_core.policies
~~~~~~~~~~~~~~~~~~~~~~

Implementations of the scheduling policy.
"""
