"""
ibiscart_schema
~~~~~~~~~~~~~~~

Messages and settings of ibiscart, generated from the schema, and their check.
"""
