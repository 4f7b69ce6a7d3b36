"""Starts and stops the embedded deployments that scenarios ask for."""

from loguru import logger


def before_all(context):
    logger.remove()


def after_scenario(context, scenario):
    running = getattr(context, "running", None)
    if running is not None:
        running.stop()
        context.running = None
