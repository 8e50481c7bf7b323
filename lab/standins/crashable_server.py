"""Server on a loopback port that can crash and come back."""

import asyncio

from chicoryshunt.connection.loop_transport import open_server
from chicoryshunt.connection.web import BoundedSite
from lab.standins.loopback import take_host


class CrashableServer:
    """Serves a site; a crash resets its connections and closes its port."""

    def __init__(self, site: BoundedSite) -> None:
        """Serve ``site`` once started."""
        self._site = site
        self._server: asyncio.Server | None = None
        self._host = take_host()
        self._port = 0
        self.crash_count = 0

    @property
    def address(self) -> str:
        """Return host:port, the same after each start."""
        return f'{self._host}:{self._port}'

    async def start(self) -> None:
        """Listen, unless the server does already."""
        if self._server is None:
            self._server = await open_server(self._site, self._host, self._port)
            self._port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End everything at once, as a process that is killed."""
        self.crash_count += 1
        self.close()

    def close(self) -> None:
        """Close the port and reset the connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for channel in tuple(self._site.channels):
            if channel.transport is not None:
                channel.transport.abortConnection()
