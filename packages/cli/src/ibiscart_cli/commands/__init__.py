"""
ibiscart_cli.commands
~~~~~~~~~~~~~~~~~~~~~

Groups of commands.
"""
