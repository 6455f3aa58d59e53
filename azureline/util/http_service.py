"""HTTP server factory with a configurable request class."""

from twisted.web import http


class _Channel(http.HTTPChannel):
    """A connection that registers with its factory."""

    def connectionMade(self):  # noqa: D102, N802
        super().connectionMade()
        self.factory.channels.add(self)

    def connectionLost(self, reason):  # noqa: D102, N802
        self.factory.channels.discard(self)
        super().connectionLost(reason)


class Factory(http.HTTPFactory):
    """Creates connections whose requests are of a given class."""

    def __init__(self, request: type[http.Request], idle_s: float = 60.0):
        """Creates a factory.

        Args:
          request: class of the requests.
          idle_s: seconds that a connection may stay idle.
        """
        super().__init__(timeout=idle_s)
        self.protocol = _Channel
        self.channels: set[_Channel] = set()
        self._request = request

    def set_idle_s(self, idle_s: float) -> None:
        """Sets the idle timeout of new connections."""
        self.timeOut = idle_s

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def buildProtocol(self, addr):  # noqa: D102, N802
        built = super().buildProtocol(addr)
        built.requestFactory = self._request
        return built
