"""Design size of a deployment, and the resource limits of each node."""

NODES = 380
FAILURE_DOMAINS = 11
REGIONS = 3
TARGETS = 600
ACCOUNTS = 25_000
REQUESTS_PER_S = 2_900
TOKENS_PER_S = 880_000
TOKEN_INTERVAL_S = 0.030
CONFIG_CHANGES_PER_DAY = 1_400
RESTARTS_PER_DAY = 380
SECONDS_PER_DAY = 86_400

REQUESTS_PER_NODE_S = REQUESTS_PER_S / NODES
TOKENS_PER_NODE_S = TOKENS_PER_S / NODES
STREAMS_PER_NODE = TOKENS_PER_NODE_S * TOKEN_INTERVAL_S

# Limits of the control work on each node.
CPU_LIMIT_US_PER_S = 12_000.0
MEMORY_LIMIT_BYTES = 128e6
NETWORK_LIMIT_BYTES_PER_S = 4_000.0

# Sustained rates of the object API over all callers. The platform is specified
# for several hundred writes and about 2,000 reads per second.
PLATFORM_WRITES_PER_S = 300.0
PLATFORM_READS_PER_S = 2_000.0

# Longest time that the platform leaves a watch call open.
WATCH_TIMEOUT_S = 8.0
HOST_POLL_INTERVAL_S = 2.0
HOST_FAILURES_PER_DAY = 7
