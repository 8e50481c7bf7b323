"""Reading, spreading and applying the patch log on a node."""
