"""Statements and transactions that do not hold Python's global lock while the disk syncs.

The library releases the lock while it steps through a statement. It holds it in its own transactions, at the
end of a statement that was not stepped to its end, and while it closes: a sync there would block the whole
process for as long as the disk takes.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence

import apsw


def run(db: apsw.Connection, sql: str, values: Sequence[int | str | bytes] = ()) -> None:
    """Step through a statement to its end. Raises `apsw.Error`."""
    for _ in db.execute(sql, tuple(values)):
        pass


@contextlib.contextmanager
def transaction(db: apsw.Connection) -> Iterator[None]:
    """Make all that is written within durable together, or none of it. Raises `apsw.Error`."""
    run(db, "begin immediate")
    try:
        yield
        run(db, "commit")
    except BaseException:
        if db.in_transaction:  # some errors end it
            with contextlib.suppress(apsw.Error):
                run(db, "rollback")
        raise
