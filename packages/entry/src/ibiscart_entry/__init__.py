"""
ibiscart_entry
~~~~~~~~~~~~~~

The entry process: serves callers and operators, and drives targets.
"""
