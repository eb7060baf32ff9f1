"""The command ``mastic-standin``."""

import pathlib
import sys
from typing import TypeVar

import fire
from returns.result import Failure as Failed

from masticdale_common import settings as common_settings
from masticdale_standins import engine, platform, service
from masticdale_standins.http import serve
from masticdale_standins.settings import (
    EngineSettings,
    ListenSettings,
    PlatformSettings,
    ServiceSettings,
)

SettingsT = TypeVar("SettingsT", bound=ListenSettings)


class Commands:
    """Runs fakes of the systems around masticdale, one process each."""

    def platform(self, settings: str) -> None:
        """Runs a fake of the platform's object API.

        Args:
            settings: Path of the JSON settings file.
        """
        loaded = _load(settings, PlatformSettings)
        serve(platform.create_app(loaded), loaded)

    def engine(self, settings: str) -> None:
        """Runs a fake model engine.

        Args:
            settings: Path of the JSON settings file.
        """
        loaded = _load(settings, EngineSettings)
        serve(engine.create_app(loaded), loaded)

    def service(self, settings: str) -> None:
        """Runs a fake service.

        Args:
            settings: Path of the JSON settings file.
        """
        loaded = _load(settings, ServiceSettings)
        serve(service.create_app(loaded), loaded)


def _load(path: str, model: type[SettingsT]) -> SettingsT:
    outcome = common_settings.load(pathlib.Path(str(path)), model)
    if isinstance(outcome, Failed):
        failure = outcome.failure()
        print(failure, file=sys.stderr)
        sys.exit(failure.response.exit_code)
    return outcome.unwrap()


def main() -> None:
    """Runs the command."""
    fire.Fire(Commands, name="mastic-standin")


if __name__ == "__main__":
    main()
