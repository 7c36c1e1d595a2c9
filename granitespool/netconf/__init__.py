"""NETCONF 1.0 and 1.1 (RFC 6241) over TLS (RFC 7589): one door to the datastores.

    framing     messages in bytes, both framings of RFC 6242                        no I/O
    xmltree     XML to changes, trees to XML, filters                               no I/O
    session     one session: hello, rpcs, answers, notifications                    no I/O

Operators' page: docs/netconf.md."""
