"""Commands for the configuration document."""

from pathlib import Path

__all__ = ["ConfigCommands"]


class ConfigCommands:
    """The configuration document."""

    def validate(self, file: str) -> None:
        """Check a document and print every problem in it."""
        from lagoontide.configuration.model import load_document

        document = load_document(Path(file))
        print(
            f"{file}: valid; {len(document.routes)} routes, "
            f"{len(document.services)} services, {len(document.accounts)} accounts"
        )
