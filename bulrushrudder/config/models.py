"""The base class of all validated models."""

import pydantic


class Model(pydantic.BaseModel):
    """A validated, immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)
