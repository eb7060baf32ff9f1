"""Fakes of the platform, of model engines and of services, for tests."""

from masticdale_standins.model import EngineModel, ModelCall, create_call
from masticdale_standins.settings import (
    EngineSettings,
    ModelSettings,
    PlatformSettings,
    ServiceSettings,
)
from masticdale_upstreams.testing import expected_answer, expected_result

__all__ = [
    "EngineModel",
    "EngineSettings",
    "ModelCall",
    "ModelSettings",
    "PlatformSettings",
    "ServiceSettings",
    "create_call",
    "expected_answer",
    "expected_result",
]
