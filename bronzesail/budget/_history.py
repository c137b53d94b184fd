"""Records events of a budget in the log and for ``bronzesail explain``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..explain import Decision, PartLogger

if TYPE_CHECKING:
    from ..explain import DecisionLog
    from ..util.clock import Clock

__all__ = ["BudgetHistory"]


class BudgetHistory:
    """Records each event of a budget as a log line and as an entry of the decision log.

    An entry need not be a choice of the router: events such as a settled hold are
    recorded too, because they explain the state of the budget.

    Parameters
    ----------
    decisions : DecisionLog
        Recent decisions and events of the router, which ``bronzesail explain`` reads.
    clock : Clock
        Source of the time.
    """

    def __init__(self, decisions: DecisionLog, clock: Clock) -> None:
        self._decisions = decisions
        self._clock = clock
        self._log = PartLogger("budget")

    def note(self, account: str, budget: str, message: str, **fields: object) -> None:
        """Record an event of one budget.

        Parameters
        ----------
        account : str
            Client account.
        budget : str
            Name of the budget.
        message : str
            Short description of the event.
        **fields : object
            Values to log with it, by name.
        """
        self._log.write(message, account=account, budget=budget, **fields)
        values = ", ".join(f"{name} {value}" for name, value in fields.items())
        text = f"{message} ({values})" if values else message
        decision = Decision(self._clock.wall(), "budget", text)
        self._decisions.add(f"budget/{account}/{budget}", decision)
