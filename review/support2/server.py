"""The project's stand-in for a backend server, which names the request always.

The pages say that engines echo the request's id in their answers.  The
project's stand-in leaves it out of its refusals.
"""

from twisted.web import server

from standins import common
from standins import options
from standins import site_server


class Server(site_server.SiteServer):
    """A backend server whose refusals name the request."""

    def _send(self, reply: common.Reply, request: server.Request) -> None:
        request_id = request.getHeader(site_server.REQUEST_ID)
        is_named = any(n == site_server.REQUEST_ID for n, _ in reply.headers)
        if request_id and not is_named:
            header = (site_server.REQUEST_ID, request_id)
            reply = reply._replace(headers=(*reply.headers, header))
        super()._send(reply, request)


def main(chosen: options.SiteServerOptions) -> None:
    """Runs the backend server until SIGTERM."""
    address = f"{chosen.host}:{chosen.port}"
    app = Server(chosen._replace(address=address))
    json_client = common.JsonClient(app.reactor, chosen.store)
    site_server.Registration(app, json_client, chosen.beat_s).start()
    common.serve(app, chosen.host, chosen.port)


if __name__ == "__main__":
    options.run(main, options.SiteServerOptions)
