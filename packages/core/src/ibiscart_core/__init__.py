"""
ibiscart_core
~~~~~~~~~~~~~

Decisions of ibiscart as pure functions and classes, without input or output.
"""
