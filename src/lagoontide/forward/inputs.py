"""Stage results that a target needs before it can run a request."""

from typing import Protocol

__all__ = ["Inputs", "InputsFailed", "NoInputs"]


class InputsFailed(Exception):
    """The inputs cannot be produced in time; the request has not run.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which capacity should be available.
    """

    def __init__(self, reason: str, retry_after: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class Inputs(Protocol):
    """Results of the stages of one request."""

    def admit(self) -> None:
        """Apply admission control to the request; raises InputsFailed."""

    async def ready(self) -> tuple[str, ...]:
        """Wait for the results and return their handles; raises InputsFailed."""

    def prepare(self) -> bool:
        """Start to remake results that were released; return whether all are ready."""

    def renew(self) -> None:
        """Discard the results, some of which are gone, so that they are remade."""

    def bytes_by_domain(self) -> dict[str, float]:
        """Return the size in bytes of the finished results, by failure domain."""

    def release(self) -> None:
        """Free the results; a target has fetched them."""

    def record_target_time(self, seconds: float) -> None:
        """Record how long a target took until its first event, or its whole answer.

        Parameters
        ----------
        seconds : float
            Since the request was sent to it.
        """

    def close(self) -> None:
        """Cancel the stages in progress and free all results."""


class NoInputs:
    """Inputs of a request whose route has no stages."""

    def admit(self) -> None:
        """See Inputs."""

    async def ready(self) -> tuple[str, ...]:
        """See Inputs."""
        return ()

    def prepare(self) -> bool:
        """See Inputs."""
        return True

    def renew(self) -> None:
        """See Inputs."""

    def bytes_by_domain(self) -> dict[str, float]:
        """See Inputs."""
        return {}

    def release(self) -> None:
        """See Inputs."""

    def record_target_time(self, seconds: float) -> None:
        """See Inputs."""

    def close(self) -> None:
        """See Inputs."""
