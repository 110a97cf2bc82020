"""
ibiscart_core.audits
~~~~~~~~~~~~~~~~~~~~

The checks of the audit, one module per group of properties.
"""
