"""
ibiscart_core.workflow
~~~~~~~~~~~~~~~~~~~~~~

Jobs of several steps: their state, the workers they run on and the decisions about them.
"""
