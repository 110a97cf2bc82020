"""
ibiscart_cli.commands
~~~~~~~~~~~~~~~~~~~~~

Command groups, one module each.
"""
