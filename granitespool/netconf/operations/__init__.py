"""The operations of NETCONF, one module per group: each is a function of (context, element, reply).

retrieval      get, get-config
editing        edit-config, copy-config, delete-config, validate
committing     commit, cancel-commit, discard-changes
locking        lock, unlock
sessions       close-session, kill-session
monitoring     get-schema
notifications  create-subscription, and the notification messages
table          the handlers by namespace and name
"""
