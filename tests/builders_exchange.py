"""One request at a node whose backend server, store and peers are fakes."""

from typing import Any

from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.metrics import exposition
from azureline.quotas import local_state
from azureline.relay import assignment as assignments
from azureline.relay import crash_detection
from azureline.relay import crash_suspects
from azureline.relay import exchange
from azureline.relay import exchange_context
from azureline.relay import requests
from azureline.relay import retry_budget
from azureline.relay import routes
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from azureline.util import memory_budget
from tests import builders_relay
from tests import builders_serving

PARTS = (
    requests.PromptPart("5c1e07a2", 800),
    requests.PromptPart("e4402b", 250),
)


class ReceivedRequest:
    """A fake caller connection that records the refusal."""

    response_started = False

    def __init__(self):
        """Creates a connection that has not received an answer."""
        self.refusal: Any = None
        self.disconnect: Any = None

    def on_disconnect(self, callback: Any) -> None:
        """Keeps what a disconnect of the caller is to call."""
        self.disconnect = callback

    def refuse(self, refusal: Any) -> None:
        """Records the refusal."""
        self.refusal = refusal


class Scheduler:
    """Assigns every request to one server."""

    def __init__(self, server: servers.BackendServer):
        """Creates a scheduler of one server."""
        self._assignment = assignments.Assignment(server)

    async def assign(self, *unused: Any) -> assignments.Assignment:
        """Returns the assignment at once."""
        return self._assignment

    def may_send(self, assignment: assignments.Assignment) -> bool:
        """Allows every send."""
        return True

    def ignore(self, *unused: Any) -> None:
        """Takes a report about an assignment."""

    release = record_sent = record_unreachable = ignore
    record_first_part = ignore


class Suspects:
    """Permits every send."""

    async def acquire_permit(self, *unused: Any) -> crash_suspects.SendPermit:
        """Returns a permit for any server at once."""
        return crash_suspects.SendPermit()

    def permits(self, *unused: Any) -> bool:
        """Allows every send."""
        return True

    def ignore(self, *unused: Any) -> None:
        """Takes a report about a send."""

    send_started = send_ended = request_completed = server_crashed = ignore


class Sends:
    """Takes the counts of sends."""

    def record(self, *unused: Any) -> None:
        """Takes one send."""


class Notices:
    """Takes the notices in the heads of answers."""

    def heard(self, *unused: Any) -> None:
        """Takes the head of one answer."""


class Quotas:
    """A client of quota owners that refuses or records what it grants.

    Attributes:
      quota: the quota of every workspace, or None.
      is_over: whether all requests are refused.
      granted: grants that were made.
      returned: grants that were returned.
    """

    def __init__(self):
        """Creates a client under which no quota applies."""
        self.quota: Any = None
        self.is_over = False
        self.granted: list[local_state.Grant] = []
        self.returned: list[local_state.Grant] = []
        self.clock: Any = None

    def quota_of(self, workspace: str | None) -> Any:
        """Returns the quota of every workspace."""
        return self.quota if workspace else None

    async def acquire(self, workspace: str, quota: Any, amount: int) -> Any:
        """Grants or refuses at once."""
        source = local_state.Source.OWNER
        if self.is_over:
            return local_state.OverQuota(0.4, source)
        now = self.clock.now()
        self.granted.append(local_state.Grant(workspace, amount, source, now))
        return self.granted[-1]

    def spread_wait_s(self, refused: local_state.OverQuota) -> float:
        """Returns the wait of a refusal without jitter."""
        return refused.wait_s

    def give_back(self, grant: local_state.Grant) -> None:
        """Records a return."""
        self.returned.append(grant)


class Client:
    """Keeps each call, so that a test can end it."""

    def __init__(self):
        """Creates a client without calls."""
        self.calls: list[http1.Call] = []

    def start(
        self,
        address: http1.Address,
        request: http1.Request,
        listener: http1.Listener,
        new_connection: bool = False,
    ) -> http1.Call:
        """Records a call that is sent."""
        self.calls.append(http1.Call(request, listener))
        return self.calls[-1]


class Scene:
    """A node with one route and one server, and a caller's request there.

    Attributes:
      clock: the time.
      context: what the exchange depends on.
      client: the calls to the server.
      received: the caller's connection.
      request: the caller's request.
      exchange: the exchange, which has not started.
      quotas: grants quotas.
    """

    def __init__(
        self, route: routes.Route | None = None, **request_fields: Any
    ):
        """Creates a node, without a configuration if no route is given."""
        self.clock = builders_serving.Clock()
        self.client = Client()
        self.quotas = Quotas()
        self.quotas.clock = self.clock
        self.received = ReceivedRequest()
        server = builders_relay.server("s1")
        catalogue = servers.Catalogue()
        catalogue.update(server)
        suspects = Suspects()
        counters = metrics.Counters()
        table = builders_relay.route_table()
        if route is not None:
            table.put_in_force(builders_relay.config(1, route))
        self.context = exchange_context.ExchangeContext(
            reactor=self.clock,
            clock=self.clock,
            client=self.client,
            route_table=table,
            scheduler=Scheduler(server),
            retry_budget=retry_budget.RetryBudget(
                retry_budget.BudgetTerms(0.2, 10.0, 54.0)
            ),
            # Probes get no answer.
            crash_detector=crash_detection.CrashDetector(
                self.clock,
                self.clock,
                catalogue,
                lambda address: defer.Deferred(),
                suspects.server_crashed,
                counters,
                events.null_log(),
            ),
            notices=Notices(),
            sends=Sends(),
            streams=None,
            body_budget=memory_budget.MemoryBudget(1 << 20),
            answer_budget=memory_budget.MemoryBudget(1 << 20, 0.5),
            crash_suspects=suspects,
            quotas=self.quotas,
            counters=counters,
            exposition=exposition.Exposition(counters),
            log=events.null_log(),
        )
        self.request = builders_relay.request(**request_fields)
        self.exchange = exchange.Exchange(
            self.context, self.received, self.request
        )

    def answer(self, data: bytes, status: int = 200) -> None:
        """Sends a part of the answer to the latest call, after its head."""
        request_id = self.request.request_id.encode()
        headers = (
            (b"azureline-request-id", request_id),
            (b"azureline-server-seal", b"x"),
            (b"transfer-encoding", b"chunked"),
        )
        listener = self.client.calls[-1].listener
        listener.on_head(http1.Head(status, b"", headers))
        listener.on_data(data)

    def break_connection(self, sent: bool = True) -> None:
        """Breaks the connection of the latest call."""
        self.client.calls[-1].fail(http1.Failure("ConnectionLost", sent))
