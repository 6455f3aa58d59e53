"""Header names and store keys that the users' platform defines."""

# Request and answer headers, in lower case.
REQUEST_ID = b"azureline-request-id"
# How long the caller waits, in milliseconds; a duration, not a point in time.
WAIT_LIMIT = b"azureline-request-deadline"
PREFIX = b"azureline-prompt-prefix"
MODEL = b"azureline-model"
# "PROMPT,OUTPUT": the number of prompt tokens and the maximum number of answer
# tokens.
TOKEN_USAGE = b"azureline-token-usage"
# The backend server's checksum of the answer; forwarded unchanged.
SEAL = b"azureline-server-seal"
NOT_EXECUTED = b"azureline-not-executed"
EXPECT_INSTANCE = b"azureline-expect-instance"
PRIORITY = b"azureline-request-priority"
LAST_EVENT_ID = b"last-event-id"
# Id of the caller's attempt that brought the first event of the stream that
# this request takes up.
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"
# "1" in every answer of a backend server that will stop soon.
LEAVING = b"server-leaving"
# Requests a second that a backend server takes from all nodes together.
LIMIT = b"server-limit"

# Era of the store, in all its answers; rises when it returns from a copy.
STORE_ERA = b"store-era"

# The caller's API key, and the workspace that the key belongs to.
API_KEY = b"x-api-key"
WORKSPACE = b"azureline-tenant"

# Headers that only azureline may send to an engine; a caller's are dropped.
RESERVED_HEADERS = frozenset(
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

# Store keys.
CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"
