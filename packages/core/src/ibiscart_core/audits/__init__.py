"""
ibiscart_core.audits
~~~~~~~~~~~~~~~~~~~~

Checks of the audit, one module for each group of properties.
"""
