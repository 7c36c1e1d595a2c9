"""Run real coordinators in virtual time with simulated backends, proxies and traffic.

A run is deterministic: all randomness comes from one seed.

    schema               sections and keys of an experiment's INI file
    clock                virtual clock and scheduled calls
    backend              simulated backend and its faults
    request_traffic      transactions, their attempts, and the counts that proxies and collectors report
    load_reports         delayed delivery of these counts to the coordinator
    channel              rate-limited channel from a coordinator to its proxies
    coordinator_settings settings of the emulated coordinator
    coordinator_host     starts and ends of a coordinator, its inputs and its outputs
    emulation            a whole fleet: backends, proxies, traffic and a coordinator
    snapshots            saving a coordinator's state to a folder, and restoring it
    distance             distance between routing tables
    restart              one trial: a coordinator is killed and restarted
    experiment           all trials of an experiment
    report, plot         the result as JSON, as text and as a plot

Every reported figure is about simulated servers.
"""
