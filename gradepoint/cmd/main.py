"""``gradepoint``: the operator's command line.

Exit codes: 0 success; 1 negative result (invalid file, conflict, refused call, nothing found);
2 wrong usage or settings; 3 no answer from the administration API; 4 applied, but not in force on
all hosts within the given time.
"""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from result import Err

from ..admin.client import AdminAnswer, AdminClient, AdminUnreachable
from ..config.check import check_document
from ..config.diff import compare
from ..config.document import Document
from ..config.keys import hash_key, make_key
from ..config.schema import document_schema
from ..errors import CATALOGUE
from .explain import explain_request
from .held import release_held, show_held
from .load import show_load
from .local import run_local
from .quota import show_quotas
from .reference import write_reference
from .render import print_jobs, print_json, print_status
from .standin import run_standin

EXIT_NEGATIVE = 1
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4

app = typer.Typer(add_completion=False, no_args_is_help=True, help="Operate gradepoint.")

FileArgument = Annotated[Path, typer.Argument(help="Configuration file.", exists=True)]
AdminOption = Annotated[
    str, typer.Option("--admin", envvar="GRADEPOINT_ADMIN", help="Base URL of a control program.")
]
KeyOption = Annotated[str, typer.Option("--key", envvar="GRADEPOINT_KEY", help="Operator's key.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]

DEFAULT_ADMIN = "http://127.0.0.1:8402"


def _read_document(file: Path, as_json: bool) -> Document:
    """Read and validate a configuration file, or print its problems and exit."""
    checked = check_document(file.read_bytes())
    if isinstance(checked, Err):
        problems = checked.err_value
        if as_json:
            rows = [
                {"path": row.path, "message": row.message, "remedy": row.remedy} for row in problems
            ]
            print_json({"valid": False, "file": str(file), "problems": rows})
        else:
            for problem in problems:
                print(problem.render(str(file)), file=sys.stderr)
        raise typer.Exit(EXIT_NEGATIVE)
    return checked.ok_value


def _call_api(
    client: AdminClient,
    method: str,
    path: str,
    body: bytes = b"",
    query: dict[str, str] | None = None,
) -> AdminAnswer:
    """Send one call and return its answer, or exit if none arrives."""
    try:
        return asyncio.run(client.call(method, path, body, query))
    except AdminUnreachable as error:
        print(f"no answer: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE) from error


def _require_success(answer: AdminAnswer, as_json: bool) -> dict[str, Any]:
    """Return the body of a successful answer, or print the error and exit."""
    if answer.good:
        return answer.body
    if as_json:
        print_json(answer.body)
    else:
        error = answer.body.get("error", {})
        print(
            f"{error.get('code')}: {error.get('message')} Remedy: {error.get('remedy')}",
            file=sys.stderr,
        )
        for row in answer.body.get("problems", []):
            print(f"{row['path']}: {row['message']} Remedy: {row['remedy']}", file=sys.stderr)
    raise typer.Exit(EXIT_NEGATIVE)


@app.command()
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a configuration file and print all problems found."""
    document = _read_document(file, as_json)
    if as_json:
        print_json({"valid": True, "file": str(file)})
    else:
        print(f"{file}: valid, {len(document.models)} models, {len(document.targets)} targets")


@app.command()
def diff(
    file: FileArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    key: KeyOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show the changes that applying a file would make."""
    document = _read_document(file, as_json)
    body = _require_success(_call_api(AdminClient(admin, key), "GET", "/admin/config"), as_json)
    current = msgspec.convert(body["document"], Document)
    rows = [row.render() for row in compare(current, document)]
    if as_json:
        print_json({"version": body["version"], "differences": rows})
        return
    print(f"against version {body['version']}:")
    print("\n".join(rows) if rows else "no difference")


@app.command()
def apply(
    file: FileArgument,
    admin: AdminOption = DEFAULT_ADMIN,
    key: KeyOption = "",
    base: Annotated[int | None, typer.Option(help="Version that the change is based on.")] = None,
    note: Annotated[str, typer.Option(help="Reason, kept in the audit trail.")] = "",
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force on all hosts.")
    ] = False,
    timeout: Annotated[float, typer.Option(help="Seconds to wait.")] = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Apply a configuration file as a whole."""
    document = _read_document(file, as_json)
    client = AdminClient(admin, key)
    query = {"note": note} if note else {}
    if base is not None:
        query["base"] = str(base)
    raw = msgspec.json.encode(document)
    body = _require_success(_call_api(client, "POST", "/admin/config", raw, query), as_json)
    behind: list[str] = []
    if wait:
        behind = asyncio.run(client.wait_in_force(body["version"], timeout))
    if as_json:
        print_json({**body, "behind": behind})
    else:
        word = "applied" if body["changed"] else "already in force"
        print(f"version {body['version']} {word}")
        if behind:
            print(f"not in force yet at: {', '.join(behind)}", file=sys.stderr)
    if behind:
        raise typer.Exit(EXIT_NOT_IN_FORCE)


@app.command()
def status(
    admin: AdminOption = DEFAULT_ADMIN, key: KeyOption = "", as_json: JsonOption = False
) -> None:
    """Show the hosts, the version in force on each, and hosts with an older version."""
    body = _require_success(_call_api(AdminClient(admin, key), "GET", "/admin/status"), as_json)
    if as_json:
        print_json(body)
    else:
        print_status(body)


@app.command()
def jobs(
    admin: AdminOption = DEFAULT_ADMIN, key: KeyOption = "", as_json: JsonOption = False
) -> None:
    """List batch jobs of all organisations."""
    body = _require_success(_call_api(AdminClient(admin, key), "GET", "/admin/jobs"), as_json)
    if as_json:
        print_json(body)
    else:
        print_jobs(body)


@app.command()
def quota(
    gateway: Annotated[str, typer.Argument(help="IP:PORT of a gateway's metrics page.")],
    organisation: Annotated[
        str, typer.Argument(help="Name; if omitted, all that have sent calls.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the use of the organisations' quotas."""
    client = AdminClient(f"http://{gateway}", "")
    if not show_quotas(partial(_call_api, client), organisation, as_json=as_json) and organisation:
        raise typer.Exit(EXIT_NEGATIVE)


@app.command()
def load(
    gateway: Annotated[str, typer.Argument(help="IP:PORT of a gateway's metrics page.")],
    as_json: JsonOption = False,
) -> None:
    """Show the load of targets, services and organisations, and recent refusals."""
    show_load(partial(_call_api, AdminClient(f"http://{gateway}", "")), as_json=as_json)


@app.command()
def held(
    gateway: Annotated[str, typer.Argument(help="IP:PORT of a gateway's metrics page.")],
    release_key: Annotated[str, typer.Option("--let-go", help="Key of a request to release.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List requests that crash their targets, or release one."""
    client = AdminClient(f"http://{gateway}", "")
    if release_key and not release_held(partial(_call_api, client), release_key):
        raise typer.Exit(EXIT_NEGATIVE)
    if not release_key:
        show_held(partial(_call_api, client), as_json=as_json)


@app.command()
def audit(
    admin: AdminOption = DEFAULT_ADMIN, key: KeyOption = "", as_json: JsonOption = False
) -> None:
    """List the configuration versions with the operators who applied them."""
    body = _require_success(_call_api(AdminClient(admin, key), "GET", "/admin/audit"), as_json)
    if as_json:
        print_json(body)
        return
    for row in body["audit"]:
        print(f"{row['version']:>6} {row['applied_at']} {row['applied_by']} {row['note']}")


@app.command()
def explain(code: str, as_json: JsonOption = False) -> None:
    """Explain an error code."""
    kind = CATALOGUE.get(code)
    if kind is None:
        print(f"no such code: {code}. Known: {', '.join(sorted(CATALOGUE))}", file=sys.stderr)
        raise typer.Exit(EXIT_NEGATIVE)
    row = {
        "code": kind.code,
        "status": kind.status,
        "category": kind.category.value,
        "outcome": kind.outcome.value,
        "retry_after_s": kind.retry_after,
        "remedy": kind.remedy,
    }
    if as_json:
        print_json(row)
        return
    for name, value in row.items():
        print(f"{name:>14}: {value}")


@app.command("explain-request")
def explain_one_request(
    wanted: Annotated[str, typer.Argument(metavar="ID", help="Id of a request, job or item.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of the hosts.", exists=True)],
    as_json: JsonOption = False,
) -> None:
    """Print the log lines of one request, job or item in order of time, and the likely cause."""
    if not explain_request(wanted, files, as_json):
        raise typer.Exit(EXIT_NEGATIVE)


@app.command()
def schema() -> None:
    """Print the JSON Schema of configuration files, for use in editors."""
    print_json(document_schema())


@app.command()
def reference(folder: Annotated[Path, typer.Argument(help="Folder to write into.")]) -> None:
    """Write the reference pages that are generated from the code."""
    write_reference(folder)


@app.command("key")
def new_key(
    name: Annotated[str, typer.Argument(help="Organisation or operator.")],
    expires: Annotated[int, typer.Option(help="Unix seconds; 0 for never.")] = 0,
    as_json: JsonOption = False,
) -> None:
    """Create a key and the hash of it for the configuration file."""
    key = make_key(name)
    hashed = msgspec.to_builtins(hash_key(key, expires=expires))
    if as_json:
        print_json({"key": key, "hash": hashed})
        return
    print(f"key (give it to its owner, it is not stored): {key}")
    print(f"entry for 'keys': {msgspec.json.encode(hashed).decode()}")


@app.command()
def local(
    settings: Annotated[Path | None, typer.Option(help="Settings of the local tier.")] = None,
    ready_file: Annotated[
        Path | None, typer.Option(help="File to write once the tier is ready.")
    ] = None,
) -> None:
    """Run all programs and stand-ins in one process, for trials."""
    run_local(settings, ready_file)


@app.command()
def standin(
    kind: Annotated[str, typer.Argument(help="kv, engine, host-list, weights or service.")],
    address: Annotated[str, typer.Option(help="IP address to listen on.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="Port to listen on.")] = 2379,
    models: Annotated[str, typer.Option(help="Engine: loaded models, separated by commas.")] = "",
    ignore_fencing: Annotated[bool, typer.Option(help="Engine: accept outdated orders.")] = False,
) -> None:
    """Run one stand-in of an external system in its own process."""
    run_standin(kind, address, port, models, checks_fencing=not ignore_fencing)


def run() -> None:
    """Run the console entry point."""
    app()
