"""
ibiscart_entry.coordination
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs of several steps: accepted by every entry, run by the one that leads.
"""
