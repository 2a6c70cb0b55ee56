"""The stages of a request: parse, admit, route, dispatch, record, respond."""
