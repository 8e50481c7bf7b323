"""Exceptions that chicoryshunt raises."""


class ChicoryshuntError(Exception):
    """Base of every error that the package raises on purpose."""


class SettingsError(ChicoryshuntError):
    """A settings file or flag cannot be used."""


class CodecError(ChicoryshuntError):
    """A message cannot be decoded."""


class PlatformError(ChicoryshuntError):
    """A service of the platform did not answer as published."""


class TargetError(ChicoryshuntError):
    """A target did not answer as published."""


class CallError(ChicoryshuntError):
    """A caller cannot complete its request."""


class UsageError(ChicoryshuntError):
    """A command line cannot be used."""
