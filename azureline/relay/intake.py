"""Takes callers' requests, also while the node stops."""

from azureline.callers import relay as caller_side
from azureline.core import errors
from azureline.platform import requests as wire
from azureline.relay import exchange
from azureline.relay import exchange_context
from azureline.relay import planned_stop
from azureline.relay import requests
from azureline.relay import routes
from azureline.relay import run_times
from azureline.util import memory_budget


class Intake:
    """Starts an exchange for each request that the node takes."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        times: run_times.RunTimes,
    ):
        """Creates an intake that takes all requests.

        Args:
          context: services that all exchanges share.
          times: running times of the routes.
        """
        self._context = context
        self._times = times
        self._active: set[exchange.Exchange] = set()
        # Monotonic time in seconds at which a stop cuts off what still runs.
        self._abort_at = float("inf")
        self._leaving = False
        self._closed = False

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return len(self._active)

    @property
    def body_budget(self) -> memory_budget.MemoryBudget:
        """The memory for the bodies of all requests."""
        return self._context.body_budget

    @property
    def leaving(self) -> bool:
        """Whether the node is stopping."""
        return self._leaving

    def leave(self, abort_at: float) -> None:
        """Takes only requests that end before the node stops.

        Args:
          abort_at: monotonic time in seconds at which it cuts requests off.
        """
        self._leaving = True
        self._abort_at = abort_at

    def close(self) -> None:
        """Takes no further request."""
        self._closed = True

    def expire_all(self) -> None:
        """Ends the requests in progress."""
        for active in list(self._active):
            active.expire()

    def handle(self, received: caller_side.ReceivedRequest) -> None:
        """Serves a request whose body has been read completely."""
        request = wire.parse_request(
            received.method,
            received.uri,
            received.header_list(),
            received.take_body(),
        )
        if self._closed or not self._ends_before_stop(request):
            # It might not complete before this process exits.
            self._context.counters.count("refused.shutting_down")
            received.refuse(
                errors.Refusal(
                    errors.ErrorKind.SHUTTING_DOWN, "The node is stopping."
                )
            )
            received.release_body()
            return
        started = exchange.Exchange(self._context, received, request)
        self._active.add(started)
        self._context.counters.count("requests.received")
        started.start().addBoth(lambda _: self._ended(started, received))

    def body_bound(self) -> int:
        """Returns the size limit of a request body, in bytes."""
        config = self._context.route_table.config
        return (config.limits if config else routes.Limits()).body_bytes

    def closing(self) -> bool:
        """Returns whether connections close after the current response."""
        return self._leaving

    def _ended(
        self, ended: exchange.Exchange, received: caller_side.ReceivedRequest
    ) -> None:
        self._active.discard(ended)
        received.release_body()

    def _ends_before_stop(self, request: requests.CallerRequest) -> bool:
        """Returns whether a request will end before this process stops."""
        table = self._context.route_table
        route = table.match(request.host, request.path)
        if route is None or not self._leaving:
            return True
        return planned_stop.ends_in_time(
            route,
            request.patience_s,
            self._times.average_s(route.name),
            self._abort_at - self._context.clock.now(),
        )
