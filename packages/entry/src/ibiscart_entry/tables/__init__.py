"""
ibiscart_entry.tables
~~~~~~~~~~~~~~~~~~~~~

Clients of the table service.
"""
