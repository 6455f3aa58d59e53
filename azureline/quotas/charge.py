"""The charge of one request to its workspace's quota."""

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.quotas import client as clients
from azureline.quotas import local_state
from azureline.relay import requests
from azureline.relay import wait_policy
from azureline.util import events

# A request that is sent later than this after its grant is charged again, since
# it adds to the requests of a later window of the bound.
_USABLE_S = 2.0


class Charge:
    """Charges one request, and returns the grant if it does not run."""

    def __init__(
        self,
        client: clients.QuotaClient,
        clock: clocks.Clock,
        log: events.Log,
        request: requests.CallerRequest,
    ):
        """Creates a charge of nothing.

        Args:
          client: requests the grants.
          clock: source of time.
          log: event log; receives a line for each refusal.
          request: the request.
        """
        self._client = client
        self._clock = clock
        self._log = log
        self._request_id = request.request_id
        self._stated_tokens = request.prompt_tokens + request.output_tokens
        self._workspace: str | None = None
        self._grant: local_state.Grant | None = None

    async def acquire(
        self, workspace: str | None, deadline: float
    ) -> errors.Refusal | None:
        """Charges the request if its workspace has a quota.

        Args:
          workspace: name of the workspace; "" or None if there is none.
          deadline: monotonic time in seconds at which the caller leaves.

        Returns:
          The refusal of a request for which the quota leaves no room, or None.
        """
        quota = self._client.quota_of(workspace)
        if workspace is None or quota is None:
            return None
        self._workspace = workspace
        amount = quota.amount(self._stated_tokens)
        decision = await self._client.acquire(workspace, quota, amount)
        if isinstance(decision, local_state.Grant):
            self._grant = decision
            return None
        self._log.info(
            "quota_refused",
            request=self._request_id,
            workspace=workspace,
            amount=amount,
            rate_per_s=quota.rate_per_s,
            burst=quota.burst,
            source=decision.source.value,
            wait_s=round(decision.wait_s, 3),
        )
        wanted_s = self._client.spread_wait_s(decision)
        return _refusal(decision, wanted_s, self._clock.now(), deadline)

    async def renew(self, deadline: float) -> errors.Refusal | None:
        """Charges the request again if it waited too long to be sent.

        Args:
          deadline: monotonic time in seconds at which the caller leaves.

        Returns:
          The refusal of a request for which the quota leaves no room, or None.
        """
        grant = self._grant
        if grant is None or self._clock.now() <= grant.at + _USABLE_S:
            return None
        self._grant = None
        return await self.acquire(self._workspace, deadline)

    def close(self, ran: bool) -> None:
        """Returns the grant of a request that did not run.

        Args:
          ran: whether the request may have run.
        """
        grant, self._grant = self._grant, None
        if grant is not None and not ran:
            self._client.give_back(grant)


def _refusal(
    decision: local_state.OverQuota,
    wanted_s: float,
    now: float,
    deadline: float,
) -> errors.Refusal:
    detail = "The workspace's requests exceed its quota."
    if decision.source is local_state.Source.ALONE:
        detail = "The node that grants the workspace's quota does not answer."
    return errors.Refusal(
        errors.ErrorKind.OVER_QUOTA,
        detail,
        retry_after=wait_policy.return_after(now, deadline, wanted_s),
        ran=errors.Ran.NO,
    )
