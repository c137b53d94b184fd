"""Tests of reading, generating, rendering and asking questionnaire answers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from bronzesail.configuration import Configuration
from bronzesail.configuration._fold import fold_entry
from bronzesail.configuration.questionnaire import (
    ask_answers,
    generate_changes,
    read_answers_text,
    render_answers,
    render_reference,
)
from bronzesail.schema import ConfigurationVersion
from bronzesail.settings import SettingsError
from bronzesail.util.keys import check_key, split_key

ANSWERS = """
[deployment]
name = summit
preference = fewer-refusals
[region amman]
data_centres = amman-a, amman-b
[service desk]
kind = model
is_repeatable = yes
[service pass]
kind = plain
is_repeatable = no
call_cost_tokens = 5
[class answer]
priority = 1
[account counter]
services = desk, pass
[budget counter/main]
top_up_tokens = 1000
top_up_id = invoice-1
"""


def apply_text(text: str, configuration: Configuration) -> tuple[Any, Configuration]:
    """Generate changes from answers; return them and the resulting configuration."""
    answers = read_answers_text(text, "answers.ini", configuration)
    generated = generate_changes(answers, configuration)
    version = configuration.version + 1
    entry = ConfigurationVersion(version, "op", 1, generated.changes)
    return generated, fold_entry(configuration, entry)


def test_answers_become_entities_keys_and_top_ups() -> None:
    generated, configuration = apply_text(ANSWERS, Configuration())
    account = configuration.accounts["counter"]
    (issued,) = generated.issued_keys
    secret = split_key(issued.key)[1]
    assert check_key(secret, account.key_salt, account.key_hash)
    assert issued.key not in repr(generated)
    assert generated.top_ups[0].amount_tokens == 1000
    assert configuration.services["pass"].call_cost_tokens == 5
    assert configuration.regions["amman"].data_centres == ("amman-a", "amman-b")


def test_same_answers_again_change_nothing_and_keep_the_key() -> None:
    _, configuration = apply_text(ANSWERS, Configuration())
    generated, _ = apply_text(ANSWERS, configuration)
    assert generated.changes == () and generated.issued_keys == ()
    again, _ = apply_text(render_answers(configuration), configuration)
    assert again.changes == () and again.base_version == 1


def test_difference_names_fields_and_hides_keys() -> None:
    _, configuration = apply_text(ANSWERS, Configuration())
    text = ANSWERS.replace("call_cost_tokens = 5", "call_cost_tokens = 6")
    text = text.replace("[account counter]", "[account counter]\nreplaces_key = yes")
    generated, _ = apply_text(text, configuration)
    assert "~ service pass: call_cost_tokens 5 -> 6" in generated.difference
    assert "~ account counter: key_hash changed" in generated.difference


def test_unlisted_entities_are_removed_only_on_request() -> None:
    _, configuration = apply_text(ANSWERS, Configuration())
    text = "[deployment]\nname = summit\n"
    assert apply_text(text, configuration)[0].changes == ()
    _, emptied = apply_text(text + "removes_unlisted = yes\n", configuration)
    assert not emptied.accounts and not emptied.services


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("kind = model", "kind = modle", "[service desk] kind: must be in"),
        ("priority = 1", "priority = -1", "[class answer] priority: must be >= 0"),
        ("priority = 1", "priorty = 1", "did you mean priority?"),
        (
            "desk, pass",
            "desk, gone",
            "[account counter] services: 'gone' is not a defined service",
        ),
        (
            "[class answer]",
            "[class reply]",
            "default_class: 'answer' is not a defined priority class",
        ),
        (
            "counter/main",
            "other/main",
            "[budget other/main]: 'other' is not a defined client account",
        ),
        ("counter/main", "counter", "must be ACCOUNT/NAME"),
        ("[class answer]", "[klass answer]", "[klass answer]: must start with one"),
        ("[region amman]", "[region Amman]", "its name must start with"),
        ("amman-a, amman-b", "", "[region amman] data_centres"),
        ("name = summit", "", "[deployment] name: is missing"),
        ("kind = plain", "", "[service pass] kind: is missing"),
    ],
)
def test_error_names_file_section_key_and_rule(old: str, new: str, words: str) -> None:
    text = ANSWERS.replace(old, new, 1)
    with pytest.raises(SettingsError) as caught:
        read_answers_text(text, "answers.ini", Configuration())
    assert any(words in problem for problem in caught.value.problems)
    assert all(
        problem.startswith("answers.ini: [") for problem in caught.value.problems
    )


class ScriptedPrompt:
    """Prompt that answers from a table, invalid answers first, else by default."""

    def __init__(self, answers: dict[str, list[str]]) -> None:
        self.answers = answers
        self.shown: list[str] = []

    def ask(self, question: str, default: str | None) -> str:
        for key, replies in self.answers.items():
            if key in question and replies:
                return replies.pop(0)
        assert default is not None, question
        return default

    def show(self, text: str) -> None:
        self.shown.append(text)


def test_terminal_rejects_an_invalid_answer_at_once_and_asks_again() -> None:
    prompt = ScriptedPrompt(
        {
            "[deployment] name": ["summit"],
            "Names of the services": ["De sk", "desk"],
            "[service desk] kind": ["modle", "model"],
            "[service desk] is_repeatable": ["perhaps", "yes"],
            "Names of the priority classes": ["answer"],
            "[class answer] priority": ["1"],
            "Names of the client accounts": ["counter"],
            "Names of the budgets": [""],
        }
    )
    text = ask_answers(prompt, Configuration())
    _, configuration = apply_text(text, Configuration())
    assert configuration.services["desk"].is_repeatable
    shown = "\n".join(prompt.shown)
    assert "kind: must be in" in shown and "must be yes or no" in shown


def test_reference_page_is_up_to_date() -> None:
    page = Path("docs/reference/questionnaire.md").read_text()
    assert page.endswith(render_reference())
