"""Parts with one safeguard taken out, to prove that the checker sees it."""

from lagoontide.agent.service import Agent
from lagoontide.claims.messages import Granted, Held
from lagoontide.claims.owner import Owner
from lagoontide.claims.rows import Row
from lagoontide.claims.service import PartitionClaims
from lagoontide.dispatch.messages import NotRun


class NoTombstone(Agent):
    """Says that an attempt never seen will not run, and forgets it."""

    def _settle(self, question):
        if self._log.get(question.attempt) is None and self._is_mine(question):
            return NotRun(question.attempt, "never seen", self.load)
        return super()._settle(question)


class NoIncarnation(Agent):
    """Takes calls that were meant for the process before it."""

    def _is_mine(self, message):
        return True


class HastyOwner(Owner):
    """Grants a claim before its commit is confirmed."""

    async def claim(self, ask):
        waiting = self._waiting.get(ask.key)
        if self._table.find(ask.key) is not None or self.is_fenced:
            return await super().claim(ask)
        if waiting is not None and waiting.row.request != ask.request:
            return Held(waiting.row.request, waiting.row.digest)
        if waiting is None:
            self._enqueue(Row(ask.key, ask.request, ask.digest))
        return Granted()


class NoConfirmation(PartitionClaims):
    """Claims by hasty owners."""

    async def _find_owner(self, partition):
        owner = await super()._find_owner(partition)
        if isinstance(owner, Owner):
            owner.__class__ = HastyOwner
        return owner
