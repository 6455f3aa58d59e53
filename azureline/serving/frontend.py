"""Implements the callers' HTTP interface on top of the parts of a node."""

import random
from typing import Any

from azureline import requests
from azureline.at_most_once import key as key_lib
from azureline.callers import credentials as credentials_lib
from azureline.callers import parse
from azureline.callers import site
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.core import errors
from azureline.fleet import directory as directories
from azureline.fleet import membership as membership_lib
from azureline.metrics import counters as metrics
from azureline.operators import status as status_lib
from azureline.serving import generations as generations_lib
from azureline.serving import once_calls
from azureline.serving import planning as planning_lib
from azureline.serving import services as services_lib


class Frontend:
    """Implements `callers.site.Frontend` for a node."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        default_deadline_s: float,
        generations: generations_lib.Generations,
        services: services_lib.Services,
        once: once_calls.OnceCalls,
        planning: planning_lib.Planning,
        membership: membership_lib.Membership,
        directory: directories.Directory,
        counters: metrics.Counters,
    ):
        """Creates the interface, which is not ready before `configure`.

        Args:
          clock: source of time.
          rng: source of randomness for idempotency keys.
          default_deadline_s: deadline in seconds of requests that name none.
          generations: runs generations.
          services: runs idempotent calls.
          once: runs non-idempotent calls.
          planning: counts demand.
          membership: the other nodes, for the status.
          directory: the backend servers, for the status.
          counters: counts refusals.
        """
        self._clock = clock
        self._rng = rng
        self._default_deadline_s = default_deadline_s
        self._generations = generations
        self._services = services
        self._once = once
        self._planning = planning
        self._membership = membership
        self._directory = directory
        self._counters = counters
        self._config: schema.Configuration | None = None
        self._version = 0
        self._credentials = credentials_lib.Credentials({})
        self._draining = False
        self._closed = False

    @property
    def active(self) -> int:
        """The number of requests that have no final answer yet."""
        return self._generations.active + self._once.active

    def configure(self, version: int, config: schema.Configuration) -> None:
        """Applies the configuration in force."""
        self._version = version
        self._config = config
        self._credentials = credentials_lib.Credentials(
            {
                caller.key_sha256: credentials_lib.Identity(
                    name, caller.priority
                )
                for name, caller in config.callers.items()
            }
        )

    def drain(self) -> None:
        """Fails the readiness check; new requests are still accepted."""
        self._draining = True

    def close(self) -> None:
        """Refuses new requests."""
        self._closed = True

    def count_refusal(self, refusal: errors.Refusal) -> None:
        """Counts a refusal."""
        self._counters.count(refusal.counter)

    def on_caller_disconnected(self, request_id: str) -> None:
        """Handles the disconnect of a service call's caller."""
        self._once.on_caller_disconnected(request_id)

    def refusal(self) -> errors.Refusal | None:
        """Returns why new requests are refused, or None."""
        if self._closed:
            return errors.Refusal(
                errors.ErrorKind.SHUTTING_DOWN, "This node is stopping."
            )
        if self._config is None:
            return errors.Refusal(
                errors.ErrorKind.NOT_READY,
                "No configuration is in force on this node yet.",
            )
        return None

    def ready(self) -> errors.Refusal | None:
        """Returns why the readiness check fails, or None."""
        if self._draining:
            return errors.Refusal(
                errors.ErrorKind.SHUTTING_DOWN, "This node is stopping."
            )
        return self.refusal()

    def credentials(self) -> credentials_lib.Credentials:
        """Returns the callers of the configuration in force."""
        return self._credentials

    def target(self, name: str) -> parse.Target | errors.Refusal:
        """Returns the model and adapter that a name refers to."""
        if self._config is not None:
            if name in self._config.models:
                return parse.Target(name, "")
            if name in self._config.adapters:
                return parse.Target(self._config.adapters[name].model, name)
        return errors.Refusal(
            errors.ErrorKind.UNKNOWN_MODEL, f"There is no model {name!r}."
        )

    def deadline(self, seconds: float) -> float:
        """Returns the monotonic time in seconds after `seconds` from now."""
        return self._clock.now() + seconds

    def default_deadline_s(self) -> float:
        """Returns the deadline in seconds of requests that name none."""
        return self._default_deadline_s

    def generate(
        self,
        call: requests.ModelCall,
        messages: list[dict[str, str]],
        answer: Any,
    ) -> None:
        """Starts a generation whose stream is written to `answer`."""
        self._planning.count_demand(call)
        self._generations.start(call, messages, answer)

    def is_idempotent(
        self, service: str, method: str, path: str
    ) -> bool | errors.Refusal:
        """Returns whether a call to a service may be repeated."""
        if self._config is None or service not in self._config.services:
            return errors.Refusal(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"There is no service {service!r}.",
            )
        return self._config.services[service].is_idempotent(method, path)

    async def call_service(
        self, request: site.ServiceRequest
    ) -> site.ServiceAnswer | errors.Refusal:
        """Runs a call to a service."""
        if not request.call.idempotent:
            return await self._once.run(request)
        self._counters.count("requests.service")
        return await self._services.call_idempotent(request)

    def issue_key(self) -> str:
        """Returns a new idempotency key."""
        return key_lib.issue(self._clock.wall(), self._rng)

    def status(self) -> status_lib.Status:
        """Returns the operators' status document."""
        return status_lib.build(
            self._membership,
            self._clock.now(),
            self._directory,
            self._counters,
            self._version,
        )
