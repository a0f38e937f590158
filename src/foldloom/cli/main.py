# SPDX-License-Identifier: MIT
"""Commands of the ``foldloom`` command-line tool.

Most commands use the HTTP interface of a running box; some only read the settings, the data folder
or log files.

Exit codes: 0 success; 1 other failure; 2 invalid usage or settings; 3 refused, no task has run;
4 failed, tasks may have run; 5 conflict; 6 box unreachable.
"""

from __future__ import annotations

import json
import sys
import uuid
from importlib.metadata import version as package_version
from pathlib import Path
from typing import Any

import fire
import zmq

from foldloom.cli.client import (
    EXIT_FAILURE,
    EXIT_USAGE,
    base_url,
    call,
    exit_code_of,
    expect_ok,
    operator_headers,
)
from foldloom.cli.explain import explain as explain_job
from foldloom.cli.explain import life_text, read_lines
from foldloom.cli.load import LoadOptions, run_load
from foldloom.controllers.storage import format_folder
from foldloom.exceptions import CommandError, SettingsError
from foldloom.settings import CONTROLLER
from foldloom.settings_file import load_settings


class Commands:
    """Operate foldloom: plan and confirm configuration changes, submit jobs, inspect boxes."""

    def intent(self, kind: str, name: str = "", file: str = "", **fields: Any) -> None:
        """Print one intent as JSON, or append it to the list in FILE.

        Args:
            kind: service, worker, worker-leaving, member, remove, box-joining, box-leaving,
                box-dead or controller-replace.
            name: Name of the object that the intent changes.
            file: JSON file to append to; created if missing.
            fields: Other fields of the intent, for example --endpoint, --zone, --slots.
        """
        intent: dict[str, Any] = {"kind": kind}
        if name:
            intent["name"] = str(name)
        for key, value in fields.items():
            intent[key] = list(value) if isinstance(value, tuple) else value
        if not file:
            _print_json(intent)
            return
        path = Path(file)
        intents = _read_intents(file) if path.exists() else []
        path.write_text(json.dumps([*intents, intent], indent=2) + "\n", encoding="utf-8")
        print(f"{len(intents) + 1} intents in {file}")

    def plan(self, file: str, url: str = "", token_file: str = "", json: bool = False) -> None:
        """Show the changes that confirming the intents in FILE would make, without making them."""
        fields = self._plan(file, url, token_file)
        if json:
            _print_json(fields)
            return
        for sentence in fields["plan"] or ["Nothing would change."]:
            print(sentence)
        print(f"base version {fields['base_version']}, digest {fields['digest']}")

    def confirm(
        self,
        file: str,
        digest: str,
        command: str = "",
        url: str = "",
        token_file: str = "",
        json: bool = False,
    ) -> None:
        """Apply the intents in FILE if they still result in the plan with DIGEST.

        Args:
            file: JSON file with the intents.
            digest: Digest of the plan; ``auto`` plans and confirms in one step.
            command: Idempotency key; generated and printed if omitted.
            url: Base URL of the box.
            token_file: File with the operator token.
            json: Print JSON.
        """
        command = str(command or uuid.uuid4().hex)
        if digest == "auto":
            digest = self._plan(file, url, token_file)["digest"]
        body = {"command": command, "base_version": 0, "intents": _read_intents(file)}
        print(f"command {command}", file=sys.stderr)
        target = f"{base_url(url)}/v1/plans/{digest}/confirm"
        fields = expect_ok(call("POST", target, body, operator_headers(token_file)))
        _print_json(fields) if json else print(f"version {fields['version']} is confirmed")

    def status(self, url: str = "", token_file: str = "", json: bool = False) -> None:
        """Show the configuration version and state of each box, and the missing boxes."""
        target = f"{base_url(url)}/v1/status"
        fields = expect_ok(call("GET", target, None, operator_headers(token_file)))
        if json:
            _print_json(fields)
            return
        current = "current" if fields["is_confirmed_current"] else "unconfirmed-current"
        print(f"{fields['box']} in {fields['zone']}: version {fields['version']} ({current})")
        for name, box in sorted(fields["boxes"].items()):
            state = "live" if box["is_live"] else "silent"
            if box["is_stopping"]:
                state = "stopping"
            vote = "votes" if box["can_vote"] else "does not vote"
            print(f"  {name}: version {box['version']}, {state}, {vote}")
        print("missing: " + (", ".join(fields["missing"]) or "none"))

    def config(self, url: str = "", token_file: str = "") -> None:
        """Print the active configuration of a box as JSON."""
        target = f"{base_url(url)}/v1/config"
        _print_json(expect_ok(call("GET", target, None, operator_headers(token_file))))

    def submit(self, file: str, submission: str = "", url: str = "", json: bool = False) -> None:
        """Submit the job in FILE and print its answers.

        Args:
            file: JSON file with the job; ``-`` reads standard input.
            submission: Submission id, which identifies resubmissions; generated if omitted.
            url: Base URL of the box.
            json: Print the whole response.
        """
        submission = str(submission or uuid.uuid4().hex)
        body = _read_json(file)
        print(f"submission {submission}", file=sys.stderr)
        reply = call("PUT", f"{base_url(url)}/v1/jobs/{submission}", body)
        if json and isinstance(reply.fields, dict):
            _print_json(reply.fields)
            raise SystemExit(exit_code_of(reply.status, reply.fields))
        for answer in expect_ok(reply)["answers"]:
            _print_json(answer)

    def load(self, json: bool = False, **options: Any) -> None:
        """Send jobs at a fixed mean rate and report the ratio of response to ideal time.

        Args:
            json: Print JSON.
            options: --urls, --jobs-per-second, --seconds, --tasks, --seed, --service,
                --members, --task-ms-min, --task-ms-max, --deadline-ms, --repeatable.
        """
        try:
            load_options = LoadOptions(**options)
        except TypeError as error:
            raise CommandError(str(error).partition(") ")[2], EXIT_USAGE) from error
        report = run_load(load_options)
        _print_json(report.fields()) if json else print(report.text())

    def explain(self, job: str, *logs: str, json: bool = False) -> None:
        """Show the timeline of one job from the JSON logs of the boxes.

        Args:
            job: Job id, or a prefix of it.
            logs: JSON log files, one or more.
            json: Print JSON.
        """
        if not logs:
            raise CommandError("at least one log file is required", EXIT_USAGE)
        try:
            life = explain_job(str(job), read_lines(logs))
        except OSError as error:
            raise CommandError(str(error), EXIT_USAGE) from error
        if not life.lines:
            raise CommandError(f"{job}: {life.cause}", EXIT_FAILURE)
        if not json:
            print(life_text(life))
            return
        lines = [line._asdict() for line in life.lines]
        _print_json(life._replace(lines=[])._asdict() | {"lines": lines})

    def check_settings(self, file: str) -> None:
        """Validate a settings file; exit with 2 and print file, key and reason if it is invalid."""
        settings = load_settings(file)
        print(f"{file}: box {settings.box} in {settings.zone}, roles {', '.join(settings.roles)}")

    def init_data(self, file: str) -> None:
        """Create the data folder of a controller of a new system.

        Not for a controller that has lost its data folder: it is readmitted automatically.
        """
        settings = load_settings(file)
        if CONTROLLER not in settings.roles:
            raise CommandError(f"{file}: this box does not have the controller role", EXIT_USAGE)
        try:
            identity = format_folder(settings.data_folder, is_first=True)
        except FileExistsError as error:
            raise CommandError(str(error), EXIT_USAGE) from error
        print(f"data folder {identity.storage_id}")

    def keys(self, file: str) -> None:
        """Generate a CURVE key pair: write the secret key to FILE, print the public key."""
        path = Path(file)
        if path.exists():
            raise CommandError(f"{file} already exists", EXIT_USAGE)
        public, secret = zmq.curve_keypair()
        path.touch(mode=0o600)
        path.write_text(secret.decode() + "\n", encoding="ascii")
        print(public.decode())

    def version(self) -> None:
        """Print the version."""
        print(package_version("foldloom"))

    def _plan(self, file: str, url: str, token_file: str) -> Any:
        target = f"{base_url(url)}/v1/intents"
        body = {"intents": _read_intents(file)}
        return expect_ok(call("POST", target, body, operator_headers(token_file)))


def _read_json(file: str) -> Any:
    """Return the JSON in *file*, or on standard input for ``-``.

    Raises:
        CommandError: The input can't be read or is not valid JSON.
    """
    try:
        text = sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8")
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise CommandError(f"{file}: {error}", EXIT_USAGE) from error


def _read_intents(file: str) -> list[Any]:
    """Return the list of intents in *file*.

    Raises:
        CommandError: The file can't be read or holds no list of intents.
    """
    raw = _read_json(file)
    if isinstance(raw, dict):
        raw = raw.get("intents", [raw])
    if not isinstance(raw, list):
        raise CommandError(f"{file}: expected a list of intents", EXIT_USAGE)
    return raw


def _print_json(fields: Any) -> None:
    print(json.dumps(fields, ensure_ascii=False))


def main() -> None:
    """Run one command; an error is reported as one line on stderr."""
    try:
        fire.Fire(Commands(), name="foldloom")
    except SettingsError as error:
        _exit(str(error), EXIT_USAGE)
    except CommandError as error:
        _exit(str(error), error.exit_code)
    except KeyboardInterrupt:
        # The user interrupted the command.
        _exit("interrupted", 1)


def _exit(message: str, code: int) -> None:
    print(f"foldloom: {message}", file=sys.stderr)
    raise SystemExit(code)


if __name__ == "__main__":
    main()
