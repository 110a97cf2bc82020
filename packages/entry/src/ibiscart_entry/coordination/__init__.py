"""
ibiscart_entry.coordination
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs of several steps: every entry accepts them, the leader runs them.
"""
