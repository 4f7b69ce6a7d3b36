"""Lookup of routes, client accounts and services in a configuration."""

from collections import defaultdict

from lagoontide.routes.records import Account, Route, RoutingConfig, Service

__all__ = ["RouteTable", "pick_service"]

HASH_RANGE = 1 << 32


class RouteTable:
    """A configuration with its lookup tables.

    Parameters
    ----------
    config : RoutingConfig
        The operators' configuration.
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in config.routes:
            by_host[route.host.lower()].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._by_host = dict(by_host)
        self._by_key = {
            key: account for account in config.accounts for key in account.keys
        }

    @property
    def version(self) -> int:
        """Version of the configuration, set by the operators."""
        return self.config.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Value of the request's Host field; its port is ignored unless a route
            names it.
        path : str
            Request path; a query is ignored.
        """
        routes = self._by_host.get(host.lower())
        if routes is None:
            routes = self._by_host.get(host.lower().rpartition(":")[0], [])
        path_only = path.partition("?")[0]
        return next(
            (route for route in routes if path_only.startswith(route.prefix)), None
        )

    def find_account(self, key: str) -> Account | None:
        """Return the client account to which an API key belongs, or None."""
        return self._by_key.get(key)

    def find_service(self, name: str) -> Service:
        """Return a service, with default settings if it is not configured."""
        return self.config.services.get(name) or Service(name)


def pick_service(route: Route, number: int) -> str:
    """Return the service that a request is sent to, by the route's traffic shares.

    Parameters
    ----------
    number : int
        Uniformly distributed over 0 to 2**32 - 1, for example a hash of the request.
    """
    total = sum(share.weight for share in route.shares)
    place = number / HASH_RANGE * total
    for share in route.shares:
        place -= share.weight
        if place < 0 and share.weight > 0:
            return share.service
    return route.shares[-1].service
