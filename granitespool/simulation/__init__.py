"""Building blocks shared by the emulator, the scale run, the benches and the tests.

    proxy_table     routing table of a plain proxy
    ini_files       packaged and other INI files of experiments, with overrides of single keys
    plotting        import of matplotlib, which is optional
    netconf_client  NETCONF client that can also violate the protocol

No module in this package imports from the emulator, the scale run, the benches or the tests.
"""
