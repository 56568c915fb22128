"""The grammar of scenarios; docs/GUARANTEES.md shows an example."""

from __future__ import annotations

from typing import Any

import attrs
from lark import Lark, Token, Transformer

_GRAMMAR = r"""
start: statement+

statement: "apply" WORD                                           -> apply
         | "race" WORD "and" WORD                                 -> race
         | "publish" WORD "version" INT                           -> publish
         | "open" WORD "step" INT "groups" INT "of" INT           -> open_step
         | "take" WORD "step" INT amount                          -> take
         | "restore" WORD                                         -> restore
         | "save" WORD                                            -> save
         | "ticket" WORD "for" WORD                               -> ticket
         | "call" WORD WORD WORD key? via? within?                -> call
         | "order" WORD "model" WORD "version" INT "fence" INT    -> order
         | "start" WORD ":" statement                             -> begin
         | "join" WORD                                            -> join
         | "kill" target                                          -> kill
         | "freeze" target                                        -> freeze
         | "thaw" target                                          -> thaw
         | "stop" target                                          -> stop
         | "restart" target                                       -> restart
         | "drain" target                                         -> drain
         | "link" target STATE                                    -> link
         | "fault" target WORD VALUE                              -> fault
         | "leave" WORD                                           -> leave
         | "wait" NUMBER "s"                                      -> pause
         | "until" WORD+                                          -> until
         | "check" (WORD | INT)+                                  -> check

target: "owner" "of" WORD     -> owner
      | "holder" "of" WORD    -> holder
      | WORD                  -> name
amount: INT | "all"           -> whole
key: "key" INT
via: "via" WORD
within: "within" NUMBER "s"

STATE.2: "open" | "cut" | "stalled"
VALUE.1: /(true|false|[0-9.]+)(?=\s|$)/
WORD: /[a-z][a-z0-9-]*/
COMMENT: /#[^\n]*/
%import common.INT
%import common.NUMBER
%import common.WS
%ignore WS
%ignore COMMENT
"""


@attrs.frozen
class Statement:
    """One statement of a scenario: a verb and its arguments."""

    # Name of the grammar's alternative, which is the verb.
    verb: str
    # Words, numbers, targets, or the statement that a ``start`` runs.
    arguments: tuple[Any, ...]


@attrs.frozen
class Target:
    """A process, given by its name or by its present role."""

    # Kind of reference: "name", "owner" or "holder".
    kind: str
    # Name of the process, of the owner's trainer or of the ticket holder's caller.
    name: str


@attrs.frozen
class Option:
    """An optional clause of a statement."""

    # Name of the clause.
    name: str
    # Value of the clause, as text.
    value: str


class _Build(Transformer[Token, Any]):
    def start(self, items: list[Statement]) -> tuple[Statement, ...]:
        return tuple(items)

    def owner(self, items: list[Token]) -> Target:
        return Target("owner", str(items[0]))

    def holder(self, items: list[Token]) -> Target:
        return Target("holder", str(items[0]))

    def name(self, items: list[Token]) -> Target:
        return Target("name", str(items[0]))

    def amount(self, items: list[Token]) -> int:
        return int(items[0])

    def whole(self, _items: list[Token]) -> None:
        return None

    def key(self, items: list[Token]) -> Option:
        return Option("key", str(items[0]))

    def via(self, items: list[Token]) -> Option:
        return Option("via", str(items[0]))

    def within(self, items: list[Token]) -> Option:
        return Option("within", str(items[0]))

    def __default__(self, data: Token, children: list[Any], _meta: Any) -> Statement:
        return Statement(str(data), tuple(children))


def parse_scenario(text: str) -> tuple[Statement, ...]:
    """Return the statements of a scenario."""
    parser = Lark(_GRAMMAR, parser="lalr", maybe_placeholders=True)
    return _Build().transform(parser.parse(text))  # type: ignore[no-any-return]
