"""Keeps a stream at the software version that began it."""

from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import exchange_refusals
from azureline.relay import requests
from azureline.relay import routes
from azureline.relay import servers
from azureline.relay import stream_versions
from azureline.util import events


class Continuation:
    """The stream that one request begins or takes up."""

    def __init__(
        self,
        request: requests.CallerRequest,
        streams: stream_versions.StreamVersions,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a continuation before the first event.

        Args:
          request: the caller's request.
          streams: the versions at which streams began.
          counters: counts the streams whose version is known or unknown.
          log: receives a line for each decision.
        """
        self._request_id = request.request_id
        # Id of the caller's attempt that brought the stream's first event.
        self._stream = request.resumes if request.last_event else ""
        self._streams = streams
        self._counters = counters
        self._log = log

    async def require_version(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        after: str,
    ) -> requests.CallerRequest | errors.Refusal:
        """Restricts a request to the software version of its stream.

        Args:
          request: the request.
          route: its route.
          service: the service that serves it.
          after: id of the last event that the caller has, or "".

        Returns:
          The request, or a refusal if the version is unknown.
        """
        if route.kind is not routes.Kind.STREAMING or not after:
            return request
        found = await self._streams.find(self._stream, service.name)
        fields = {
            "request": self._request_id,
            "stream": self._stream,
            "service": service.name,
            "after": after,
        }
        match found:
            case stream_versions.Known(version=version, source=source):
                self._counters.count("streams.version_known")
                self._log.info(
                    "stream_version", **fields, version=version, source=source
                )
                return request._replace(software_version=version)
            case stream_versions.Unknown(reason=reason):
                self._counters.count("streams.version_unknown")
                self._log.info("stream_version", **fields, reason=reason)
                return exchange_refusals.version_unknown(reason)

    def events_begun(self, server: servers.BackendServer) -> None:
        """Records a server before its first events are passed on."""
        self._stream = self._stream or self._request_id
        self._streams.stream_began(self._stream, server)
