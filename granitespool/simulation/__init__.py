"""What the emulator, the scale run, benches and tests share.

    proxy_table     the routing table of a plain proxy
    ini_files       experiments and scenarios as INI files, and changes of their keys
    plotting        matplotlib, where it is there
    netconf_client  a NETCONF client that can also misbehave

No module here knows any of them."""
