"""Names on the wire of the users' platform, each in one place."""

# Headers of requests and answers, in lower case.
REQUEST_ID = b"azureline-request-id"
# Milliseconds that the caller will wait, not a point in time.
DEADLINE = b"azureline-request-deadline"
PREFIX = b"azureline-prompt-prefix"
MODEL = b"azureline-model"
# "PROMPT,OUTPUT": tokens of the prompt and the most tokens of the answer.
TOKENS = b"azureline-token-usage"
# The backend server's checksum of the answer, to be passed on unchanged.
SEAL = b"azureline-server-seal"
NOT_RUN = b"azureline-not-executed"
EXPECT_INSTANCE = b"azureline-expect-instance"
PRIORITY = b"azureline-request-priority"
LAST_EVENT = b"last-event-id"
RETRY_AFTER = b"retry-after"
# "1" in every answer of a backend server that is leaving.
LEAVING = b"server-leaving"

# The caller's key, and the workspace that holds it.
KEY = b"x-api-key"
WORKSPACE = b"azureline-tenant"

# Headers that only this system may set towards an engine.
RESERVED = frozenset(
    {
        EXPECT_INSTANCE,
        PRIORITY,
        b"azureline-expect-version",
        b"azureline-pin-ms",
        b"azureline-hold",
        b"azureline-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)

# Keys of the store.
CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"
