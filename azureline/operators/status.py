"""The operators' read-only status document: the fleet as one node sees it."""

from typing import TypedDict

from azureline.fleet import directory as directories
from azureline.fleet import membership as membership_lib
from azureline.metrics import counters as metrics


class NodeStatus(TypedDict):
    """The status of one node.

    Attributes:
      name: name of its VM.
      domain: its failure domain.
      state: "alive", "suspect", "dead" or "leaving".
      config_version: version of the configuration in force on the node.
      age_s: seconds since the last change of its state.
    """

    name: str
    domain: str
    state: str
    config_version: int
    age_s: float


class ModelStatus(TypedDict):
    """The name, version and state of a model in an engine."""

    name: str
    version: str
    state: str


class EngineStatus(TypedDict):
    """The status of one model engine.

    Attributes:
      name: name of the engine.
      domain: its failure domain, or "" if the platform does not list it.
      owner: name of the node that sends orders to the engine.
      state: "serving", "leaving" or "down".
      models: the models in its memory.
      memory_used: accelerator memory in use, in bytes.
      memory_bytes: accelerator memory in bytes.
      running: number of running generations in the last received report.
    """

    name: str
    domain: str
    owner: str
    state: str
    models: list[ModelStatus]
    memory_used: int
    memory_bytes: int
    running: int


class Status(TypedDict):
    """The complete status document.

    Attributes:
      node: name of the node that answered.
      config_version: version of the configuration in force on that node.
      unreachable_domains: failure domains that the node cannot reach.
      nodes: all nodes.
      engines: all model engines.
      models: number of ready replicas by model name.
      refusals: refusals by this node by error kind, since its start.
      retries: retries by this node by reason, since its start.
      moves: orders sent by this node by kind and result, since its start.
    """

    node: str
    config_version: int
    unreachable_domains: list[str]
    nodes: list[NodeStatus]
    engines: list[EngineStatus]
    models: dict[str, int]
    refusals: dict[str, int]
    retries: dict[str, int]
    moves: dict[str, int]


def build(
    membership: membership_lib.Membership,
    now: float,
    directory: directories.Directory,
    counters: metrics.Counters,
    config_version: int,
) -> Status:
    """Returns the status document of this node.

    Args:
      membership: the nodes of the fleet.
      now: monotonic time in seconds.
      directory: the backend servers and the engines' state.
      counters: this node's counters.
      config_version: version of the configuration in force on this node.
    """
    engines = [
        _engine(name, view, directory)
        for name, view in sorted(directory.views.items())
    ]
    return Status(
        node=membership.name,
        config_version=config_version,
        unreachable_domains=sorted(membership.unreachable_domains),
        nodes=_nodes(membership, now, config_version),
        engines=engines,
        models=_replicas(engines),
        refusals=counters.with_prefix("refused."),
        retries=counters.with_prefix("retry."),
        moves=counters.with_prefix("moves."),
    )


def _nodes(
    membership: membership_lib.Membership, now: float, config_version: int
) -> list[NodeStatus]:
    own = membership.info
    nodes = [
        NodeStatus(
            name=membership.name,
            domain=own.domain,
            state="leaving" if own.leaving else "alive",
            config_version=config_version,
            age_s=0.0,
        )
    ]
    for member in membership.members:
        state = member.state.name.lower()
        if member.info.leaving and state == "alive":
            state = "leaving"
        nodes.append(
            NodeStatus(
                name=member.name,
                domain=member.info.domain,
                state=state,
                config_version=member.info.config_version,
                age_s=round(now - member.since, 1),
            )
        )
    return sorted(nodes, key=lambda n: n["name"])


def _engine(
    name: str,
    view: directories.EngineView,
    directory: directories.Directory,
) -> EngineStatus:
    vm = directory.vms.get(name)
    state = "serving"
    if view.unreachable or vm is None:
        state = "down"
    elif view.draining or vm.leaving:
        state = "leaving"
    return EngineStatus(
        name=name,
        domain=vm.domain if vm else "",
        owner=view.owner,
        state=state,
        models=[
            ModelStatus(name=h.name, version=h.version, state=h.state)
            for h in view.models
        ],
        memory_used=view.memory_used,
        memory_bytes=view.memory_bytes,
        running=view.running,
    )


def _replicas(engines: list[EngineStatus]) -> dict[str, int]:
    replicas: dict[str, int] = {}
    for engine in engines:
        for model in engine["models"]:
            ready = model["state"] == "ready" and engine["state"] == "serving"
            replicas.setdefault(model["name"], 0)
            replicas[model["name"]] += ready
    return replicas
