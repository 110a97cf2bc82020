"""
ibiscart_cli
~~~~~~~~~~~~

Command line for operators and callers.
"""
