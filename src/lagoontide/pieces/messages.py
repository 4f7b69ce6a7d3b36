"""Messages between an entry and the owner of a shard of stage targets."""

import msgspec

from lagoontide.decoding import Number
from lagoontide.pieces.records import Failure

__all__ = ["MESSAGES", "FreeResults", "Order", "OrderDone", "WithdrawOrder"]


class Order(msgspec.Struct, frozen=True, array_like=True, tag="order"):
    """Asks the owner to make all pieces of one stage of a request.

    Attributes
    ----------
    kind : str
        Route and stage; pieces of one kind have similar costs.
    due : float
        Seconds from now until the stage has to end for the request to meet its
        objective.
    left : float
        Seconds from now until the deadline, after which the results are useless.
    result_bytes : float
        Approximate size of one result.
    near : str
        Preferred failure domain, in which the fewest bytes are transferred; empty
        if there is none.
    frees_inputs : bool
        Whether no other stage consumes the inputs, so that the owner frees them as
        soon as they are fetched.
    shard : int
        Shard of the service's targets that makes the pieces.
    """

    service: str
    request_id: str
    kind: str
    stage: int
    count: int
    key: str
    inputs: tuple[str, ...]
    urgency: int
    due: Number
    left: Number
    result_bytes: Number
    near: str = ""
    frees_inputs: bool = False
    shard: int = 0


class OrderDone(msgspec.Struct, frozen=True, array_like=True, tag="order_done"):
    """The results of an order, or the reason for its failure.

    Attributes
    ----------
    retry_after : float
        Seconds after which the order may succeed; 0 if unknown.
    """

    handles: tuple[str, ...] = ()
    failure: Failure | None = None
    retry_after: Number = 0.0


class WithdrawOrder(msgspec.Struct, frozen=True, array_like=True, tag="withdraw"):
    """Cancels an order whose results are not needed any more."""

    service: str
    shard: int
    request_id: str
    stage: int


class FreeResults(msgspec.Struct, frozen=True, array_like=True, tag="free"):
    """Frees results that are not needed any more."""

    service: str
    shard: int
    handles: tuple[str, ...]


MESSAGES = (Order, OrderDone, WithdrawOrder, FreeResults)
