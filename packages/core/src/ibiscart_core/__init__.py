"""
ibiscart_core
~~~~~~~~~~~~~

Scheduling decisions of ibiscart as pure functions and classes, without I/O.
"""
