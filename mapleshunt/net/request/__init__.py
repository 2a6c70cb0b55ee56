"""The stages that a request passes: parse, admit, route, dispatch, record, respond."""
