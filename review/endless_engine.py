"""A model engine that answers some requests with bytes without an end."""

import random
from typing import Any

from twisted.internet import task
from twisted.web import server

from standins import common
from standins import options
from standins import site_server

# One token in each chunk, as streaming servers write them, but no event ends.
_TOKEN = b"token 07f3 0a9c "
_BLOCK = (b"%x\r\n%s\r\n" % (len(_TOKEN), _TOKEN)) * 3000
# A caller that reads slowly slows the engine down.
_MAX_UNSENT_BYTES = 1 << 18
_WRITE_INTERVAL_S = 0.005


class EndlessEngine(site_server.SiteServer):
    """An engine that is sound but for the bodies of some answers."""

    def __init__(self, chosen: options.SiteServerOptions):
        """Creates an engine without a fault."""
        super().__init__(chosen)
        self._endless_share = 0.0
        self._rng = random.Random(1)

    def inject_fault(self, name: str, value: Any) -> None:
        """Also takes `endless`: the share of answers without an end."""
        if name == "endless":
            self._endless_share = value
        else:
            super().inject_fault(name, value)

    async def _stream(self, request: server.Request, request_id: str) -> None:
        if self._rng.random() >= self._endless_share:
            await super()._stream(request, request_id)
            return
        self._start_stream(request, request_id)
        request.write(self._event(request_id, 0, 2))
        while common.is_open(request):
            transport = request.channel.transport
            unsent = len(transport.dataBuffer) + transport._tempDataLen
            if unsent < _MAX_UNSENT_BYTES:
                transport.write(_BLOCK)
            await task.deferLater(self.reactor, _WRITE_INTERVAL_S)


def main(chosen: options.SiteServerOptions) -> None:
    """Runs the engine until SIGTERM."""
    address = f"{chosen.host}:{chosen.port}"
    app = EndlessEngine(chosen._replace(address=address))
    json_client = common.JsonClient(app.reactor, chosen.store)
    site_server.Registration(app, json_client, chosen.beat_s).start()
    common.serve(app, chosen.host, chosen.port)


if __name__ == "__main__":
    options.run(main, options.SiteServerOptions)
