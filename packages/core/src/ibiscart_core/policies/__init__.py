"""
ibiscart_core.policies
~~~~~~~~~~~~~~~~~~~~~~

Variants of the scheduling policy.
"""
