"""
ibiscart_entry.routes
~~~~~~~~~~~~~~~~~~~~~

Handlers of the API's paths, one module per subject.
"""
