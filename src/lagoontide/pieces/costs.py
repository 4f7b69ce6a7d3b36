"""Online estimate of the duration of calls to stage targets."""

from collections import Counter
from collections.abc import Iterable

from lagoontide.routes.records import PieceSettings

__all__ = ["CallCosts"]

# Step size of the normalized least-mean-squares filter (Haykin, Adaptive Filter
# Theory, 6): the share of a prediction error that is attributed to the pieces of
# the call.
LEARNING_RATE = 0.3
# Lower bound of an estimate, as a share of the configured time of a piece.
MIN_COST_SHARE = 0.05


class CallCosts:
    """Predicts the duration of a call from the kinds of its pieces.

    Parameters
    ----------
    settings : PieceSettings
        Configured call costs, which serve as the initial estimate for each kind.
    """

    def __init__(self, settings: PieceSettings) -> None:
        self._settings = settings
        self._piece_times: dict[str, float] = {}

    def predict(self, kinds: Iterable[str]) -> float:
        """Return the expected seconds of a call with pieces of these kinds."""
        default = self._settings.piece_time
        pieces = sum(self._piece_times.get(kind, default) for kind in kinds)
        return self._settings.call_time + pieces

    def observe(self, kinds: Iterable[str], seconds: float) -> None:
        """Record the duration of a call; calls to slow targets must be left out."""
        counts = Counter(kinds)
        error = seconds - self.predict(counts.elements())
        power = sum(count * count for count in counts.values())
        for kind, count in counts.items():
            current = self._piece_times.get(kind, self._settings.piece_time)
            updated = current + LEARNING_RATE * error * count / power
            self._piece_times[kind] = max(
                updated, MIN_COST_SHARE * self._settings.piece_time
            )
